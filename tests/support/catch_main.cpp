// The main function of a test program made of several files.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
