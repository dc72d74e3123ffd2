#define BOOST_TEST_MODULE directory
#include <boost/test/unit_test.hpp>
