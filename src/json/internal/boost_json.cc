// Compiles Boost.JSON, which the other files use through its headers only.
#include <boost/json/src.hpp>
