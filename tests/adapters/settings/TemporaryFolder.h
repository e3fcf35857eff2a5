#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace teaselturn {

/// Creates an empty temporary folder and removes it with its contents in the destructor.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "teaselturn-test-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        this->folder = pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const noexcept { return this->folder; }

private:
    std::filesystem::path folder;
};

}
