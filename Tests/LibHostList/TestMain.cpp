#define BOOST_TEST_MODULE LibHostList
#include <boost/test/unit_test.hpp>
