#pragma once

// Prints what the key of a request costs and how long the event loop stands still while a
// configuration with many routes and keys comes into force, measured in one process.
void printAccess();
