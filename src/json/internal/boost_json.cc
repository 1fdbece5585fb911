// Compiles Boost.JSON from its sources; the other files include only its headers.
#include <boost/json/src.hpp>
