#include "invariant.h"

#include <cstdio>
#include <cstdlib>

namespace lovagebeam::routing {

void invariant_broken(std::string_view name, std::string_view subject)
{
    std::fprintf(stderr, "event=invariant_broken package=routing name=%.*s subject=%.*s\n",
                 static_cast<int>(name.size()), name.data(), static_cast<int>(subject.size()),
                 subject.data());
    std::abort();
}

} // namespace lovagebeam::routing
