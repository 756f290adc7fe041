#define BOOST_TEST_MODULE LibCloud
#include <boost/test/unit_test.hpp>
