#include <godwit/ctl/program.h>

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(godwit::runProgram(arguments, std::cout, std::cerr));
}
