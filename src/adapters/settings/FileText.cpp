#include "adapters/settings/FileText.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace teaselturn {

namespace {

    /// Owns a file descriptor and closes it.
    class Descriptor {
    public:
        explicit Descriptor(int number)
            : number(number)
        {
        }
        ~Descriptor()
        {
            if (this->number >= 0) {
                ::close(this->number);
            }
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;

        bool isOpen() const noexcept { return this->number >= 0; }
        int get() const noexcept { return this->number; }

    private:
        int number;
    };

    Status fileFailure(ResultCode code, const std::filesystem::path& file, int error)
    {
        return { code, file.string() + ": " + std::generic_category().message(error) };
    }

    bool writeAll(int descriptor, std::string_view text)
    {
        while (!text.empty()) {
            const auto written = ::write(descriptor, text.data(), text.size());
            if (written < 0 && errno != EINTR) {
                return false;
            }
            text.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
        }
        return true;
    }

}

Result<std::string> readFileText(const std::filesystem::path& file, ResultCode code)
{
    const Descriptor descriptor { ::open(file.c_str(), O_RDONLY | O_CLOEXEC) };
    if (!descriptor.isOpen()) {
        return fileFailure(code, file, errno).failure();
    }
    std::string text(maxFileTextBytes + 1, '\0');
    std::size_t length = 0;
    while (length < text.size()) {
        const auto read = ::read(descriptor.get(), text.data() + length, text.size() - length);
        if (read < 0 && errno == EINTR) {
            continue;
        }
        if (read < 0) {
            return fileFailure(code, file, errno).failure();
        }
        if (read == 0) {
            text.resize(length);
            return text;
        }
        length += static_cast<std::size_t>(read);
    }
    return { code, file.string() + ": larger than " + std::to_string(maxFileTextBytes) + " bytes" };
}

Status writeFileText(const std::filesystem::path& file, std::string_view text, unsigned mode, Existing existing)
{
    const std::filesystem::path temporary { file.string() + ".new" };
    {
        ::unlink(temporary.c_str());
        const Descriptor descriptor { ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode) };
        if (!descriptor.isOpen() || !writeAll(descriptor.get(), text) || ::fsync(descriptor.get()) != 0) {
            auto status = fileFailure(ResultCode::Internal, file, errno);
            ::unlink(temporary.c_str());
            return status;
        }
    }
    // link() fails if the target exists, whereas rename() replaces it.
    const auto moved = existing == Existing::Replaced ? ::rename(temporary.c_str(), file.c_str()) : ::link(temporary.c_str(), file.c_str());
    auto status = moved == 0 ? success() : fileFailure(ResultCode::Internal, file, errno);
    ::unlink(temporary.c_str());
    return status;
}

}
