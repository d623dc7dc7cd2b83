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

/// Bytes of a chunk, shared with the connections that are sending them.
using ChunkBytes = std::shared_ptr<const std::string>;

/// Content-addressed store of the verified chunks of one host, bounded in memory. A chunk that
/// several transfers use is stored once and freed when its last owner releases it. Freed bytes that
/// a connection is still sending remain in memory until it finishes, but no longer count as used.
/// A chunk whose bytes the caller can read back from elsewhere may be unloaded.
class ChunkStore
{
public:
    /// Stores at most \a windowBytes bytes.
    explicit ChunkStore(std::uint64_t windowBytes)
        : m_windowBytes(windowBytes)
    {}

    /// Verifies \a bytes against \a digest and \a size and stores them for \a owner. Fails with
    /// ChunkSizeWrong, ChunkCorrupt or ChunkWindowFull without storing anything.
    Result<void> put(const Digest &owner, const Digest &digest, std::uint32_t size,
                     ChunkBytes bytes);

    /// Adds \a owner to a stored chunk. Returns false if the chunk is not stored.
    bool addOwner(const Digest &owner, const Digest &digest);

    /// Removes \a owner from a chunk. Returns true if this freed the chunk.
    bool release(const Digest &owner, const Digest &digest);

    /// Drops the bytes of a chunk that the host can read back from elsewhere. The chunk still
    /// counts as stored.
    void unload(const Digest &digest);

    /// Returns the bytes of a chunk; null if it is not stored or is unloaded.
    ChunkBytes find(const Digest &digest) const;

    /// Returns one of the owners of a chunk; null if the chunk is not stored.
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
