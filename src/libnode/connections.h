/*
 * Tracks the open connections to backend servers and finds idle ones that must
 * not be used again. Dead ones lead to a working server but get no answer any
 * more. The module only decides; the owner of the sockets closes them.
 *
 * When a request on a reused connection gets no byte in time, and an answer
 * arrives on another connection after that request began, all idle connections
 * to the same backend server that have not answered since then are closed. What
 * broke the first one, such as a lost entry in the connection table of a
 * firewall, is assumed to have broken them as well.
 *
 * An idle connection on which bytes arrived is closed before the next request,
 * which would take them for its answer.
 *
 * Only established connections are tracked beyond the request that opened them.
 * The socket of an attempt to connect that failed is closed without notice, and
 * its descriptor then belongs to whoever opens one next.
 */
#ifndef BB_NODE_CONNECTIONS_H
#define BB_NODE_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

struct bb_connections;

/**
 * enum bb_connection_fault - why an idle connection must not be used again.
 * @BB_CONNECTION_SILENT: it gets no answers any more
 * @BB_CONNECTION_UNSOLICITED: bytes arrived on it while it was idle
 */
enum bb_connection_fault {
	BB_CONNECTION_SILENT,
	BB_CONNECTION_UNSOLICITED,
	BB_CONNECTION_FAULT_COUNT
};

extern const char *const bb_connection_fault_string[];

/**
 * struct bb_idle_connection - an idle connection that is to be closed.
 * @fd: its socket
 * @fault: reason
 * @origin: URL of the backend server
 * @opened_us: time of its opening
 * @requests_nr: number of requests that used it
 */
struct bb_idle_connection {
	int fd;
	enum bb_connection_fault fault;
	const char *origin;
	int64_t opened_us;
	unsigned int requests_nr;
};

/**
 * bb_connection_close() - closes an idle connection; the owner of the socket
 * calls bb_connections_closed() when that is done.
 */
typedef void bb_connection_close(void *data,
				 const struct bb_idle_connection *n);

/**
 * bb_connections_new() - create an empty set of connections.
 * @close: closes an idle connection
 * @data: passed to @close
 */
struct bb_connections *bb_connections_new(bb_connection_close *close,
					  void *data);

/**
 * bb_connections_delete() - free the set; closes nothing.
 * @c: connections, may be NULL
 */
void bb_connections_delete(struct bb_connections *c);

/**
 * struct bb_connection_use - the connection that a request uses. All fields are
 * 0 while there is none.
 * @fd: its socket; a later connection may have the same descriptor
 * @serial: number of the connection, never used again
 * @opened_us: time of its opening
 */
struct bb_connection_use {
	int fd;
	uint64_t serial;
	int64_t opened_us;
};

/**
 * bb_connections_opened() - add a connection that a request opens and uses.
 * @c: connections
 * @fd: its socket
 * @origin: URL of the backend server
 * @user: identifies the request
 * @now_us: current time
 */
struct bb_connection_use bb_connections_opened(struct bb_connections *c, int fd,
					       const char *origin,
					       const void *user,
					       int64_t now_us);

/**
 * bb_connections_established() - note that a connection was established.
 * @c: connections
 * @use: connection that the request uses
 * @local_port: port of its end on this host
 */
void bb_connections_established(struct bb_connections *c,
				const struct bb_connection_use *use,
				unsigned int local_port);

/**
 * bb_connections_idle_us() - time since the last answer on an idle connection.
 * @c: connections
 * @origin: URL of the backend server
 * @local_port: port of its end on this host
 * @now_us: current time
 *
 * Return: time, INT64_MAX if there is no such connection, or none that was idle
 * and has answered.
 */
int64_t bb_connections_idle_us(const struct bb_connections *c,
			       const char *origin, unsigned int local_port,
			       int64_t now_us);

/**
 * bb_connections_least_idle_us() - the same for the connection to a backend
 * server that answered last.
 */
int64_t bb_connections_least_idle_us(const struct bb_connections *c,
				     const char *origin, int64_t now_us);

/**
 * bb_connections_closed() - remove a connection whose socket was closed.
 */
void bb_connections_closed(struct bb_connections *c, int fd);

/**
 * bb_connections_use() - note that a request uses an open connection.
 * @c: connections
 * @fd: its socket
 * @user: identifies the request
 * @use: connection that the request used before, or none; set to the present
 *       one, or to none if that is not tracked
 */
void bb_connections_use(struct bb_connections *c, int fd, const void *user,
			struct bb_connection_use *use);

/**
 * bb_connections_release() - note that a request has ended.
 * @c: connections
 * @use: connection that it used, which may be closed already
 * @user: as for bb_connections_use()
 *
 * A connection that was not established by then is removed.
 */
void bb_connections_release(struct bb_connections *c,
			    const struct bb_connection_use *use,
			    const void *user);

/**
 * bb_connections_answered() - note that the head of a response was received.
 * @c: connections
 * @use: connection that it came on, which may be closed already
 * @origin: URL of the backend server
 * @now_us: current time
 *
 * Return: number of idle connections closed.
 */
unsigned int bb_connections_answered(struct bb_connections *c,
				     const struct bb_connection_use *use,
				     const char *origin, int64_t now_us);

/**
 * bb_connections_request_timed_out() - note that a request on a reused
 * connection got no byte in time.
 * @c: connections
 * @origin: URL of the backend server
 * @began_us: time when the request began
 *
 * Return: number of idle connections closed.
 */
unsigned int bb_connections_request_timed_out(struct bb_connections *c,
					      const char *origin,
					      int64_t began_us);

/**
 * bb_connections_close_unsolicited() - close the idle connections to a backend
 * server on which bytes arrived, which cannot be the answer to a request.
 * @c: connections
 * @origin: URL of the backend server
 * @has_bytes: whether unread bytes wait on a socket
 *
 * Return: number of connections closed.
 */
unsigned int bb_connections_close_unsolicited(struct bb_connections *c,
					      const char *origin,
					      bool (*has_bytes)(int fd));

/**
 * bb_connections_avoid_reuse() - whether the next request should open a new
 * connection, because a request on a reused one timed out and no connection
 * has answered since.
 */
bool bb_connections_avoid_reuse(const struct bb_connections *c,
				const char *origin);

#endif
