#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/result.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace godwit {

/// Bytes of a chunk, shared with the connections that send them.
using ChunkBytes = std::shared_ptr<const std::string>;

/// Verified chunks of one host in a bounded memory window, addressed by content. A chunk that
/// several transfers use is stored once and freed when its last owner releases it. Bytes that a
/// connection still sends stay in memory until it is done; they no longer count as used. A chunk
/// whose bytes the caller can read elsewhere may be unloaded.
class ChunkStore
{
public:
    /// \a windowBytes is the limit of stored bytes.
    explicit ChunkStore(std::uint64_t windowBytes)
        : m_windowBytes(windowBytes)
    {}

    /// Verifies \a bytes against \a digest and \a size and stores them for \a owner. Fails with
    /// ChunkSizeWrong, ChunkCorrupt or ChunkWindowFull; then nothing is stored.
    Result<void> put(const Digest &owner, const Digest &digest, std::uint32_t size,
                     ChunkBytes bytes);

    /// Adds \a owner to a stored chunk. Returns false if the chunk is not stored.
    bool share(const Digest &owner, const Digest &digest);

    /// Releases the chunk for \a owner. Returns true if this freed it.
    bool release(const Digest &owner, const Digest &digest);

    /// Drops the bytes of a stored chunk, which the host can read elsewhere. It stays stored.
    void unload(const Digest &digest);

    /// Null if the chunk is not stored, or unloaded.
    ChunkBytes find(const Digest &digest) const;

    /// Any owner of a stored chunk; null if the chunk is not stored.
    const Digest *owner(const Digest &digest) const;

    bool contains(const Digest &digest) const { return m_entries.contains(digest); }
    bool hasRoom(std::uint64_t bytes) const { return m_usedBytes + bytes <= m_windowBytes; }
    std::uint64_t usedBytes() const { return m_usedBytes; }
    std::uint64_t windowBytes() const { return m_windowBytes; }

private:
    struct Entry
    {
        ChunkBytes bytes; ///< Null if unloaded.
        std::set<Digest> owners;
    };

    std::uint64_t m_windowBytes;
    std::uint64_t m_usedBytes = 0;
    std::unordered_map<Digest, Entry> m_entries;
};

} // namespace godwit
