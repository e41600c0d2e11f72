#pragma once

// Measures the library's parts in one process at the sizes of the target.
void printSizes();
