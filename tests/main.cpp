#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// The seed of the property tests is fixed, so that runs are reproducible. RC_PARAMS overrides it.
int main(int argc, char** argv) {
    ::setenv("RC_PARAMS", "seed=20261203 max_success=400 max_size=600", 0);
    doctest::Context context(argc, argv);
    return context.run();
}
