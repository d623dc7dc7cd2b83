#pragma once

#include <godwit/weights/chunkset.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace godwit {

/// Message to a peer about the chunks that the sender holds (`POST /chunks/have`).
// clang-tidy 14 reports a move out of a failed leaf::result, which LEAF rules out before it moves.
struct HaveUpdate // NOLINT(clang-analyzer-core.uninitialized.Assign)
{
    Digest transfer;                 ///< Digest of the manifest.
    bool full = false;               ///< `bitmap` replaces what the receiver knew of the sender.
    bool wantReply = false;          ///< Asks the receiver to reply with a full update.
    std::string bitmap;              ///< Hexadecimal, four chunks per digit, lowest index first.
    std::vector<ChunkIndex> added;   ///< Newly held.
    std::vector<ChunkIndex> removed; ///< Freed by the sender.
    std::uint32_t backlog = 0;       ///< Requests queued for an upload slot of the sender.
    /// Model and version of the transfer, in full updates: the receiver may not know them yet.
    std::string model;
    std::string version;

    friend bool operator==(const HaveUpdate &, const HaveUpdate &) = default;
};

/// Encodes \a chunks in the format of HaveUpdate::bitmap.
std::string encodeBitmap(const ChunkSet &chunks);

/// Decodes the bitmap of \a size chunks. Fails with HaveUpdateInvalid.
Result<ChunkSet> decodeBitmap(std::string_view text, ChunkIndex size);

/// Parses JSON \a text from the wire. Fails with HaveUpdateInvalid, or like parseJson().
Result<HaveUpdate> parseHaveUpdate(std::string_view text);

template <>
struct JsonFields<HaveUpdate>
{
    static constexpr auto table = std::tuple{
            field("transfer", &HaveUpdate::transfer),    field("full", &HaveUpdate::full),
            field("want_reply", &HaveUpdate::wantReply), field("bitmap", &HaveUpdate::bitmap),
            field("added", &HaveUpdate::added),          field("removed", &HaveUpdate::removed),
            field("backlog", &HaveUpdate::backlog),      field("model", &HaveUpdate::model),
            field("version", &HaveUpdate::version)};
};

} // namespace godwit
