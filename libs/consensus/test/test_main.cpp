#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>
