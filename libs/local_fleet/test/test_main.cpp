#define BOOST_TEST_MODULE local_fleet
#include <boost/test/unit_test.hpp>
