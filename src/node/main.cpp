#include <cstdio>

int main()
{
    std::puts("teaselturnd " TEASELTURN_VERSION);
    return 0;
}
