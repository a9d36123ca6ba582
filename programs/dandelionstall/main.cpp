// The node process: ingress for callers and sidecar of the workers on its VM.
#include <iostream>

int main()
{
    std::cout << "dandelionstall 0.1.0\n";
    return 0;
}
