#define BOOST_TEST_MODULE LibServing
#include <boost/test/unit_test.hpp>
