#pragma once

// Measures how hosts hear of their servers while another writer leaves large entries in the store,
// and prints a table row for each number of entries. Throws std::runtime_error if a process fails.
void printLargeEntries();
