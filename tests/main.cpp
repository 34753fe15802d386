#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// Property tests give the same verdict on every run: the seed is fixed unless the caller sets RC_PARAMS.
int main(int argc, char** argv) {
    ::setenv("RC_PARAMS", "seed=20261203 max_success=400 max_size=600", 0);
    doctest::Context context(argc, argv);
    return context.run();
}
