#include <cstdio>

int main()
{
    std::puts("teaselturnctl " TEASELTURN_VERSION);
    return 0;
}
