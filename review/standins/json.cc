// The library for JSON, which is header-only.
#include <boost/json/src.hpp>
