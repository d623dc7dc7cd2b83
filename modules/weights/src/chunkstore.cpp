#include <godwit/weights/chunkstore.h>

namespace godwit {

Result<void> ChunkStore::put(const Digest &owner, const Digest &digest, std::uint32_t size,
                             ChunkBytes bytes)
{
    if (!bytes || bytes->size() != size)
        return fail(ResultCode::ChunkSizeWrong,
                    "chunk " + digest.toHex() + " has " + std::to_string(bytes ? bytes->size() : 0)
                            + " bytes, expected " + std::to_string(size));
    if (Digest::of(*bytes) != digest)
        return fail(ResultCode::ChunkCorrupt, "chunk " + digest.toHex());
    if (find(digest)) {
        addOwner(owner, digest);
        return {};
    }
    if (!hasRoom(size))
        return fail(ResultCode::ChunkWindowFull, "chunk " + digest.toHex());
    m_usedBytes += size;
    Entry &entry = m_entries[digest];
    entry.bytes = std::move(bytes);
    entry.owners.insert(owner);
    return {};
}

bool ChunkStore::addOwner(const Digest &owner, const Digest &digest)
{
    const auto it = m_entries.find(digest);
    if (it == m_entries.end())
        return false;
    it->second.owners.insert(owner);
    return true;
}

bool ChunkStore::release(const Digest &owner, const Digest &digest)
{
    const auto it = m_entries.find(digest);
    if (it == m_entries.end() || !it->second.owners.erase(owner) || !it->second.owners.empty())
        return false;
    unload(digest);
    m_entries.erase(it);
    return true;
}

void ChunkStore::unload(const Digest &digest)
{
    const auto it = m_entries.find(digest);
    if (it == m_entries.end() || !it->second.bytes)
        return;
    m_usedBytes -= it->second.bytes->size();
    it->second.bytes.reset();
}

ChunkBytes ChunkStore::find(const Digest &digest) const
{
    const auto it = m_entries.find(digest);
    return it == m_entries.end() ? nullptr : it->second.bytes;
}

const Digest *ChunkStore::owner(const Digest &digest) const
{
    const auto it = m_entries.find(digest);
    return it == m_entries.end() ? nullptr : &*it->second.owners.begin();
}

} // namespace godwit
