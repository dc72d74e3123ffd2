#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>
