#include "core/log.h"

int main()
{
    fulmar::initializeLog("fulmar-bench");
    return 0;
}
