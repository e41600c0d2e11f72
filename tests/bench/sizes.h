#pragma once

// Prints memory use, message sizes and times of the library's components, measured in one process
// at the target scale of the fleet.
void printSizes();
