#define BOOST_TEST_MODULE LibDesk
#include <boost/test/unit_test.hpp>
