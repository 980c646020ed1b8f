// Deleter for std::unique_ptr that calls an OpenSSL free function.
#pragma once

namespace ivyrill::access {

template <auto Free> struct OpenSslDeleter {
    template <class What> void operator()(What* what) const { Free(what); }
};

} // namespace ivyrill::access
