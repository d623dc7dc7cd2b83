#pragma once

#include <string>

/// Logs \a text with an easylogging++ macro. This is a separate source file because easylogging++
/// and Catch2 both define CHECK.
void logWithMacro(const std::string &text);
