/*
 * Open connections to backend servers: finds those that went silent for good
 * while newer ones work. Decides only; the owner of the sockets closes them.
 *
 * When a request on a reused connection gets no byte in time, and an answer
 * arrives on another connection after that request began, the idle connections
 * to the same backend server that have not answered since are closed: whatever
 * broke the first one, such as a lost entry of a firewall, broke them as well.
 */
#ifndef BB_NODE_CONNECTIONS_H
#define BB_NODE_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

struct bb_connections;

/**
 * bb_connections_new() - no connections.
 * @close: closes an idle connection; bb_connections_closed() follows later
 * @data: passed to @close
 */
struct bb_connections *bb_connections_new(void (*close)(void *data, int fd),
					  void *data);

void bb_connections_delete(struct bb_connections *c);

/**
 * bb_connections_opened() - a connection is being opened.
 * @c: connections
 * @fd: its socket
 * @origin: URL of the backend server
 * @now_us: clock
 */
void bb_connections_opened(struct bb_connections *c, int fd, const char *origin,
			   int64_t now_us);

/**
 * bb_connections_closed() - its socket was closed.
 */
void bb_connections_closed(struct bb_connections *c, int fd);

/**
 * bb_connections_set_busy() - a request begins to use it, or ended.
 *
 * Return: when it was opened, or INT64_MAX if it is not known.
 */
int64_t bb_connections_set_busy(struct bb_connections *c, int fd, bool busy);

/**
 * bb_connections_answered() - the head of a response was received.
 * @c: connections
 * @fd: socket, which may be closed already
 * @origin: URL of the backend server
 * @now_us: clock
 *
 * Return: number of idle connections closed.
 */
unsigned int bb_connections_answered(struct bb_connections *c, int fd,
				     const char *origin, int64_t now_us);

/**
 * bb_connections_request_timed_out() - no byte came in time on a reused connection.
 * @c: connections
 * @origin: URL of the backend server
 * @began_us: when the request began
 *
 * Return: number of idle connections closed.
 */
unsigned int bb_connections_request_timed_out(struct bb_connections *c,
					      const char *origin,
					      int64_t began_us);

/**
 * bb_connections_avoid_reuse() - whether the next request should open a new
 *			      connection, because the last one reused was
 *			      silent and none has answered since.
 */
bool bb_connections_avoid_reuse(const struct bb_connections *c,
				const char *origin);

#endif
