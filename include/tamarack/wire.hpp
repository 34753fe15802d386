// Wire: the frames between entries and agents and the connections that carry them.
//
// A frame on the wire is its length as four bytes, lowest first, and a FlatBuffers table. It is verified
// before any field is read. Every frame carries the sender's configuration version.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <span>

namespace tamarack::wire {

// Version of the frames; processes of different versions do not talk.
inline constexpr std::uint32_t protocol_version = 1;

// Largest frame that is sent or accepted.
inline constexpr std::size_t max_frame_bytes = 16 * 1024 * 1024;

// Body bytes that an agent may send for one attempt before the entry grants more.
inline constexpr std::uint64_t initial_credit_bytes = 256 * 1024;

// First frame in either direction.
struct hello {
    std::uint32_t protocol_ = protocol_version;
    std::string id_;
    std::string role_; // "agent" or "entry"
    std::uint64_t incarnation_ = 0;
};

// Heartbeat of an agent.
struct status {
    std::uint64_t incarnation_ = 0;
    bool leaving_ = false;
    std::int64_t queued_ = 0;
    std::int64_t running_ = 0;
    std::int64_t wait_ms_ = 0;
    std::int64_t clock_ms_ = 0;         // for issuing bound keys
    std::vector<std::string> resident_; // empty if `same_items_`
    bool same_items_ = false;           // nothing has changed since the last full status
};

// A request for this attempt. The deadline travels as the remaining budget.
struct submit {
    std::uint64_t attempt_ = 0;
    std::string method_;
    std::string path_;
    std::string content_type_;
    std::string organisation_;
    std::string model_; // as the caller named it; empty for plain services
    std::uint8_t class_ = 0;
    std::int64_t budget_ms_ = 0;
    bool idempotent_ = false;
    std::string key_;                // empty for idempotent requests
    std::int64_t key_issued_ms_ = 0; // for keys of callers' own, by the wall clock
    std::int64_t kv_tokens_ = 0;     // greatest number of tokens that it may keep in the KV cache
    std::string body_;
};

// The answer has begun.
struct head {
    std::uint64_t attempt_ = 0;
    int status_ = 0;
    std::string content_type_;
    std::string item_; // the weights that serve it
};

// A part of the answer's body; sequences count from zero.
struct chunk {
    std::uint64_t attempt_ = 0;
    std::uint32_t sequence_ = 0;
    std::string data_;
};

// The answer is complete and had `chunks_` parts.
struct end {
    std::uint64_t attempt_ = 0;
    std::uint32_t chunks_ = 0;
};

// The attempt was not run and never will be.
struct refused {
    std::uint64_t attempt_ = 0;
    std::uint8_t reason_ = 0;
    std::int64_t retry_after_ms_ = 0;
    std::string redirect_; // the endpoint that holds the key, if another does
};

// The attempt may have run; its answer is lost or incomplete.
struct failed {
    std::uint64_t attempt_ = 0;
    std::string detail_;
};

struct cancel {
    std::uint64_t attempt_ = 0;
};

// Answer to a cancellation: whether the attempt is certain never to run.
struct cancelled {
    std::uint64_t attempt_ = 0;
    bool not_run_ = false;
};

struct credit {
    std::uint64_t attempt_ = 0;
    std::uint64_t bytes_ = 0;
};

struct key_request {
    std::uint64_t attempt_ = 0;
};

struct key_issued {
    std::uint64_t attempt_ = 0;
    std::string key_;
};

// Asks for the receiver's configuration state.
struct config_fetch {};

// The sender's configuration state, encoded.
struct config_state {
    std::string state_;
};

// Asks whether the receiver keeps its copy of the item if the sender drops its own.
struct drop_request {
    std::uint64_t request_ = 0;
    std::string item_;
};

struct drop_reply {
    std::uint64_t request_ = 0;
    bool granted_ = false;
};

using message =
    std::variant<hello, status, submit, head, chunk, end, refused, failed, cancel, cancelled, credit,
                 key_request, key_issued, config_fetch, config_state, drop_request, drop_reply>;

struct frame {
    std::int64_t config_version_ = -1;
    message message_;
};

// Bytes of the frame with its length in front.
std::vector<std::uint8_t> encode_frame(const frame& one);

// Decodes a frame without its length. Fails with `invalid` unless the bytes verify and name a known message.
result<frame> decode_frame(std::span<const std::uint8_t> bytes);

// Checks the parts of one answer: each once, in order, of this attempt, and all there at the end.
class response_assembly {
public:
    explicit response_assembly(std::uint64_t attempt) : attempt_(attempt) {}

    enum class part_check { accept, drop, broken };

    part_check add_head(const head& one);
    part_check add_chunk(const chunk& one);
    part_check add_end(const end& one);

    bool complete() const { return complete_; }

private:
    std::uint64_t attempt_;
    bool begun_ = false;
    bool complete_ = false;
    std::uint32_t next_ = 0;
};

// One TCP connection that carries frames both ways. All calls from the executor of its socket.
class connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(boost::asio::ip::tcp::socket socket);

    // Waits for the next frame. Fails with `interrupted` when the connection ends and `invalid` for bytes
    // that are no frame; the connection is closed then.
    boost::asio::awaitable<result<frame>> receive();

    // Queues a frame. Returns false, and sends nothing, if the connection is closed or the frame too large.
    bool send(const frame& one);

    void close();
    bool closed() const { return closed_; }

    // Says that nothing more is sent. The other side reads all that was sent and then closes; closing at once
    // while its frames are unread would reset the connection and lose what it has not read yet.
    void finish_sending();

    // Whether frames are queued or being written.
    bool sending() const { return writing_ && !closed_; }

private:
    boost::asio::awaitable<void> write_queued();

    boost::asio::ip::tcp::socket socket_;
    std::deque<std::vector<std::uint8_t>> queued_;
    std::vector<std::uint8_t> received_;
    bool writing_ = false;
    bool closed_ = false;
};

// Connects within the time limit. Fails with `unreachable`.
boost::asio::awaitable<result<std::shared_ptr<connection>>> connect(boost::asio::ip::tcp::endpoint remote,
                                                                    std::chrono::milliseconds limit);

} // namespace tamarack::wire
