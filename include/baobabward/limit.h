/*
 * Fleet-wide limit on the rate and burst of every client account.
 *
 * The grantor runs beside the holder of leases (lease.h) and keeps a token
 * bucket for each account in use. The drawer runs in the entry node; it draws
 * tokens from grantors ahead of demand (prefetch) and spends them locally.
 * Amounts are whole micro-tokens.
 *
 * In every window of w seconds at most burst + rate * w requests are admitted:
 * the level of a bucket plus the tokens drawn and not known to be spent never
 * exceed the share of the burst that is leased until those tokens expire,
 * refilling follows the share held over time, and each share has one borrower.
 * Prefetched tokens expire linearly over their validity, at the grantor and at
 * the drawer alike, so that the bucket refills while they are spent and not
 * only afterwards.
 */
#ifndef BAOBABWARD_LIMIT_H
#define BAOBABWARD_LIMIT_H

#include "baobabward/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One token, in micro-tokens. */
#define BB_TOKEN INT64_C(1000000)
/* Longest validity of a prefetched token. */
#define BB_DRAW_VALID_MAX_US (10 * INT64_C(1000000))

/* Validity of a token that is drawn for a waiting request. It is spent on
 * arrival and never reported, so it counts against the burst for this time. */
#define BB_DRAW_VALID_SHORT_US (250 * INT64_C(1000))

/* Longest wait of a request for a token that has to be drawn first. A holder
 * that does not answer is given up within 1 s, and another one is asked then. */
#define BB_DRAW_WAIT_MAX_US (2 * INT64_C(1000000))

typedef uint32_t bb_find_account_fn(const struct bb_config *c, const char *name,
				    size_t size);

/**
 * struct bb_grantor_options - options of a grantor.
 * @incarnation: of this process
 * @holder: leases; must outlive the grantor, which sets its callbacks
 * @data: passed to @send
 * @send: sends a message to a host
 * @find_account: bb_config_find_account()
 * @drift_ppm: largest error of a clock's rate; buckets refill slower by this
 *             much, since the clock may be fast
 */
struct bb_grantor_options {
	uint64_t incarnation;
	struct bb_holder *holder;
	void *data;
	bb_send_fn *send;
	bb_find_account_fn *find_account;
	int64_t drift_ppm;
};

struct bb_grantor;

/* All functions of the grantor are for the control thread only. */
struct bb_grantor *bb_grantor_new(const struct bb_grantor_options *o);
void bb_grantor_delete(struct bb_grantor *g);

/**
 * bb_grantor_set_config() - apply a configuration.
 * @g: the grantor
 * @c: configuration; must live until the next call or bb_grantor_delete()
 * @m: map of @c
 * @now_us: time
 */
void bb_grantor_set_config(struct bb_grantor *g, const struct bb_config *c,
			   struct bb_lease_map *m, int64_t now_us);

/**
 * bb_grantor_tick() - remove full, unused buckets and idle sessions.
 */
void bb_grantor_tick(struct bb_grantor *g, int64_t now_us);

/**
 * bb_grantor_receive() - answer a DRAW; other messages are ignored.
 */
void bb_grantor_receive(struct bb_grantor *g, uint32_t from_host,
			const struct bb_message *m, int64_t now_us);

/**
 * bb_grantor_buckets() - number of accounts with a bucket.
 */
size_t bb_grantor_buckets(const struct bb_grantor *g);

/**
 * enum bb_spend_result - result of bb_drawer_spend().
 * @BB_SPEND_GRANTED: one token was spent
 * @BB_SPEND_WAIT: a draw is due or pending; try again after the next
 *                 bb_drawer_receive(), for a bounded time
 * @BB_SPEND_REFUSED: the account has no token left
 */
enum bb_spend_result { BB_SPEND_GRANTED, BB_SPEND_WAIT, BB_SPEND_REFUSED };

/**
 * struct bb_drawer_options - options of a drawer.
 * @self: name of this host
 * @incarnation: of this process
 * @data: passed to the callbacks
 * @alive: liveness of the hosts
 * @stopping: whether a host announced a planned stop; may be NULL
 * @send: sends a message to a host
 * @drift_ppm: as for the lender
 * @accounts_max: most accounts in the table, 0 for 8192
 * @report_idle_us: idle time after which unused tokens are returned and spent
 *             ones reported, 0 for BB_DRAWER_REPORT_IDLE_US; 1 for at once
 */
struct bb_drawer_options {
	const char *self;
	uint64_t incarnation;
	void *data;
	bb_lease_alive_fn *alive;
	bb_lease_alive_fn *stopping;
	bb_send_fn *send;
	int64_t drift_ppm;
	size_t accounts_max;
	int64_t report_idle_us;
};

/* Default idle time after which unused tokens are returned. */
#define BB_DRAWER_REPORT_IDLE_US (700 * INT64_C(1000))

struct bb_drawer;

/*
 * bb_drawer_spend() may be called by any number of threads at any time between
 * bb_drawer_new() and bb_drawer_delete(). All other functions are for one
 * control thread. Accounts are spread over shards, each with a mutex; of the
 * callbacks, only @alive and @stopping are called while it is held.
 */
struct bb_drawer *bb_drawer_new(const struct bb_drawer_options *o);
void bb_drawer_delete(struct bb_drawer *d);
void bb_drawer_set_config(struct bb_drawer *d, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us);

/**
 * bb_drawer_spend() - spend one token of an account.
 * @d: the drawer
 * @account: name of the client account
 * @waited: the last result for this request was BB_SPEND_WAIT
 * @now_us: time, read by the caller just before
 * @retry_us: if refused, set to the time until a token may be available; may
 *            be NULL
 *
 * Return: see enum bb_spend_result. On BB_SPEND_WAIT the caller makes the
 * control thread call bb_drawer_tick() soon, and later calls this again or
 * bb_drawer_cancel_wait().
 */
enum bb_spend_result bb_drawer_spend(struct bb_drawer *d, const char *account,
				     bool waited, int64_t now_us,
				     int64_t *retry_us);

/**
 * bb_drawer_cancel_wait() - end the wait of a request that got BB_SPEND_WAIT.
 * @d: the drawer
 * @account: name of the client account
 */
void bb_drawer_cancel_wait(struct bb_drawer *d, const char *account);

/**
 * bb_drawer_may_use_reserve() - whether a request that got no token in time may
 * spend the reserve of this node.
 * @d: the drawer
 * @account: name of the client account
 * @now_us: time
 *
 * With the policy rank_order, requests also wait when one holder has no tokens
 * left but another one does not answer. They must not spend the reserve, which
 * would come on top of the rate.
 */
bool bb_drawer_may_use_reserve(struct bb_drawer *d, const char *account,
			       int64_t now_us);

/**
 * bb_drawer_tick() - send the draws, returns and reports that are due.
 * @d: the drawer
 * @now_us: time
 *
 * To be called about every 100 ms and after each BB_SPEND_WAIT.
 */
void bb_drawer_tick(struct bb_drawer *d, int64_t now_us);
void bb_drawer_receive(struct bb_drawer *d, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us);

/**
 * bb_drawer_return_tokens() - return all unused tokens, for a planned stop.
 */
void bb_drawer_return_tokens(struct bb_drawer *d, int64_t now_us);

/**
 * bb_drawer_accounts() - number of accounts in the table.
 */
size_t bb_drawer_accounts(struct bb_drawer *d);

#ifdef __cplusplus
}
#endif
#endif
