// The main function of a test program with several source files.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
