#define BOOST_TEST_MODULE log_story
#include <boost/test/unit_test.hpp>
