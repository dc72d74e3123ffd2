#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>
