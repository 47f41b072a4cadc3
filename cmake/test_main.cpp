#define BOOST_TEST_MODULE fulmarramp
#include <boost/test/unit_test.hpp>
