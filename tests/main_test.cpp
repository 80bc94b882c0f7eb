// Defines the main function of the unit test program, which Boost.Test generates.
#define BOOST_TEST_MODULE carawaytray
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
