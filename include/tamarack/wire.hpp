// Wire: the frames exchanged by entries and agents, and the connections that carry them.
//
// A frame on the wire is a four-byte little-endian length followed by a FlatBuffers table, which is verified
// before any field is read. Every frame carries the sender's configuration version.
#pragma once

#include "tamarack/kernel.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <span>

namespace tamarack::wire {

// Version of the protocol; processes of different versions do not communicate.
inline constexpr std::uint32_t protocol_version = 1;

// Size of the largest frame that is sent or accepted.
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

// State of an agent. Sent as a heartbeat without the resident items, and in full when the resident items or
// the configuration change and when the agent begins to leave.
struct status {
    std::uint64_t incarnation_ = 0;
    bool leaving_ = false;
    std::int64_t queued_ = 0;
    std::int64_t running_ = 0;
    std::int64_t wait_ms_ = 0;          // expected wait before a new interactive request starts
    std::int64_t clock_ms_ = 0;         // agent's clock, for issuing bound keys
    std::vector<std::string> resident_; // names of the items that are ready to serve; empty if `same_items_`
    bool same_items_ = false;           // the resident items are those of the last full status
};

// Asks the agent to run one attempt of a request. The deadline is sent as the remaining time budget.
struct submit {
    std::uint64_t attempt_ = 0;
    std::string method_;
    std::string path_;
    std::string content_type_;
    std::string organisation_;
    std::string model_; // model named by the client; empty for plain services
    std::uint8_t class_ = 0;
    std::int64_t budget_ms_ = 0;
    bool idempotent_ = false;
    std::string key_;                // empty for idempotent requests
    std::int64_t key_issued_ms_ = 0; // wall-clock time at which a client's own key was issued
    std::int64_t kv_tokens_ = 0;     // estimated tokens of prompt and completion; 0 for plain services
    std::string body_;
};

// Start of a response.
struct head {
    std::uint64_t attempt_ = 0;
    int status_ = 0;
    std::string content_type_;
    std::string item_; // weights that serve the request
};

// Part of the response body, numbered from zero.
struct chunk {
    std::uint64_t attempt_ = 0;
    std::uint32_t sequence_ = 0;
    std::string data_;
};

// End of a complete response of `chunks_` parts.
struct end {
    std::uint64_t attempt_ = 0;
    std::uint32_t chunks_ = 0;
};

// The attempt has not run and never will.
struct refused {
    std::uint64_t attempt_ = 0;
    std::uint8_t reason_ = 0;
    std::int64_t retry_after_ms_ = 0;
    std::string redirect_; // endpoint that holds the key, if it is another one
};

// The attempt may have run; its response is lost or incomplete.
struct failed {
    std::uint64_t attempt_ = 0;
    std::string detail_;
};

struct cancel {
    std::uint64_t attempt_ = 0;
};

// Reply to `cancel`: whether the attempt is certain not to run.
struct cancelled {
    std::uint64_t attempt_ = 0;
    bool not_run_ = false;
};

// Allows the agent to send `bytes_` more body bytes for the attempt.
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

// Asks the receiver to keep its copy of the item so that the sender can drop its own.
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

// Encodes a frame, prefixed with its length.
std::vector<std::uint8_t> encode_frame(const frame& source);

// Decodes a frame without its length. Fails with `invalid` if verification fails or the message is unknown.
result<frame> decode_frame(std::span<const std::uint8_t> bytes);

// Checks that the parts of a response arrive once, in order and completely. `drop` is returned for the parts
// of other attempts and `broken` for a violation of the sequence.
class response_assembly {
public:
    explicit response_assembly(std::uint64_t attempt) : attempt_(attempt) {}

    enum class part_check { accept, drop, broken };

    part_check add_head(const head& part);
    part_check add_chunk(const chunk& part);
    part_check add_end(const end& part);

    bool complete() const { return complete_; }

private:
    std::uint64_t attempt_;
    bool has_head_ = false;
    bool complete_ = false;
    std::uint32_t next_sequence_ = 0;
};

// A TCP connection that carries frames in both directions. Call it only from the executor of its socket.
class connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(boost::asio::ip::tcp::socket socket);

    // Waits for the next frame. Fails with `interrupted` when the connection ends and `invalid` for bytes
    // that are not a frame. The connection is closed after a failure.
    boost::asio::awaitable<result<frame>> receive();

    // Queues a frame. Returns false and sends nothing if the connection is closed or the frame is too large.
    bool send(const frame& outgoing);

    void close();
    bool closed() const { return closed_; }

    // Shuts down the sending side; the peer reads the remaining data and then closes. An immediate close
    // while frames from the peer are unread would reset the connection and lose data that the peer has not
    // read yet.
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

// Opens a connection within the time limit. Fails with `unreachable`.
boost::asio::awaitable<result<std::shared_ptr<connection>>> connect(boost::asio::ip::tcp::endpoint remote,
                                                                    std::chrono::milliseconds limit);

} // namespace tamarack::wire
