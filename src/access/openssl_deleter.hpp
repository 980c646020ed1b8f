// Deleter for std::unique_ptr that calls an OpenSSL free function.
#pragma once

namespace ivyrill::access {

template <auto Free> struct OpenSslDeleter {
    template <class Object> void operator()(Object* object) const { Free(object); }
};

} // namespace ivyrill::access
