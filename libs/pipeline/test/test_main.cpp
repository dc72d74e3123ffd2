#define BOOST_TEST_MODULE pipeline
#include <boost/test/unit_test.hpp>
