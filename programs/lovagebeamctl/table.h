#pragma once

#include <boost/json/array.hpp>

#include <string>

namespace lovagebeam::ctl {

/// Formats the objects of `rows` as an aligned text table with the field names as column titles.
std::string render_table(const boost::json::array& rows);

} // namespace lovagebeam::ctl
