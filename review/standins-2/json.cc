// The only source file with the definitions of Boost.JSON.
#include <boost/json/src.hpp>
