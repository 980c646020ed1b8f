// Owns what OpenSSL hands out, with the function that frees it.
#pragma once

namespace ivyrill::access {

template <auto Free> struct OpenSslDeleter {
    template <class What> void operator()(What* what) const { Free(what); }
};

} // namespace ivyrill::access
