/*
 * Open connections of callers. libmicrohttpd 0.9.75 does not see that a caller has
 * closed its connection if the end was queued behind the last bytes that it read: it
 * takes a read of less than it asked for to mean that an event will tell of more.
 * Such connections would stay until the idle time-out. shutdown(SHUT_RD) makes epoll
 * tell of the end once more and changes nothing else.
 *
 * All functions are safe from any thread.
 */
#ifndef BB_NODE_CALLERS_H
#define BB_NODE_CALLERS_H

#include <stdbool.h>

struct bb_callers;
struct bb_caller;

/**
 * bb_callers_new() - create an empty list.
 */
struct bb_callers *bb_callers_new(void);

/**
 * bb_callers_delete() - free the list; all connections have ended.
 */
void bb_callers_delete(struct bb_callers *all);

/**
 * bb_callers_open() - list a connection.
 * @fd: its socket, which stays open until bb_callers_close()
 */
struct bb_caller *bb_callers_open(struct bb_callers *all, int fd);

/**
 * bb_callers_close() - end and free the entry of a connection.
 */
void bb_callers_close(struct bb_callers *all, struct bb_caller *c);

/**
 * bb_callers_check() - tell libmicrohttpd of connections that callers have closed.
 * @max: number of connections to look at; the next call goes on behind them
 *
 * Return: number of connections that have ended.
 */
unsigned int bb_callers_check(struct bb_callers *all, unsigned int max);

/**
 * bb_caller_check_end() - likewise for one connection.
 * @fd: its socket
 *
 * Return: whether the caller has closed it and nothing is left to read.
 */
bool bb_caller_check_end(int fd);

#endif
