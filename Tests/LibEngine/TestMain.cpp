#define BOOST_TEST_MODULE LibEngine
#include <boost/test/unit_test.hpp>
