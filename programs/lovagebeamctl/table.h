#pragma once

#include <boost/json/array.hpp>

#include <string>

namespace lovagebeam::ctl {

/// Returns the objects of `rows` as an aligned table for people, with the names of the fields as
/// its heading.
std::string render_table(const boost::json::array& rows);

} // namespace lovagebeam::ctl
