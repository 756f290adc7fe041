#define BOOST_TEST_MODULE LibLoad
#include <boost/test/unit_test.hpp>
