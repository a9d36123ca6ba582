// The operator tool: checks tables and settings and reads the admin API of nodes.
#include <iostream>

int main()
{
    std::cout << "dandelionctl 0.1.0\n";
    return 0;
}
