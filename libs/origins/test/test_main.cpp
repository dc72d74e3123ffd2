#define BOOST_TEST_MODULE origins
#include <boost/test/unit_test.hpp>
