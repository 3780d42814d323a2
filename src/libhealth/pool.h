/*
 * Pool summaries of the backend servers of one service, received from other
 * nodes, and the choice of the node to ask for them next.
 */
#ifndef BB_LIBHEALTH_POOL_H
#define BB_LIBHEALTH_POOL_H

#include <glib.h>

#include "evidence.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A backend server of the service. */
struct bb_pool_member {
	char *name;
	uint32_t backend; /* handle */
	uint32_t zone;
	bool local; /* beside this node */
	bool in_service; /* configured as in */
	int64_t last_answer_us; /* last summary of any class */
	int64_t last_asked_us;
	int64_t received_us[BB_HEALTH_CLASSES];
	struct bb_pool_summary summaries[BB_HEALTH_CLASSES];
};

/* All backend servers of one service. */
struct bb_pool {
	char *name;
	uint32_t service; /* handle */
	struct bb_pool_member *members;
	size_t members_nr;
	size_t next_member; /* to ask for summaries */
	int64_t last_asked_us;
	unsigned int
		suspects; /* local members for which the pool is asked often */
	int64_t suspect_since_us; /* when @suspects last rose from 0 */
};

/* Creates the pool of @service; members of @old keep their state by name. */
struct bb_pool *bb_pool_new(const struct bb_config *c, uint32_t service,
			    uint32_t host, const struct bb_pool *old);
void bb_pool_delete(struct bb_pool *p);

/* Stores a summary; ignored if its backend server is not in the pool. */
void bb_pool_set(struct bb_pool *p, const struct bb_pool_summary *s,
		 int64_t now_us);

/*
 * Reference to compare @backend with, from summaries of the other members that
 * were received since @since_us and whose latest three outcomes are all after
 * @recent_since_us.
 */
void bb_pool_reference(const struct bb_pool *p, uint32_t backend,
		       uint32_t class_id, int64_t since_us,
		       int64_t recent_since_us,
		       struct bb_evidence_reference *out);

/* Whether 3, or all, of the other members have answered since @since_us. */
bool bb_pool_consulted(const struct bb_pool *p, uint32_t backend,
		       int64_t since_us);

/*
 * Whether a member in the availability zone of @backend has its latest three
 * outcomes after @since_us, or no other member there has enough outcomes.
 */
bool bb_pool_zone_has_recent(const struct bb_pool *p, uint32_t backend,
			     uint32_t class_id, int64_t since_us);

/* Member whose node to ask for summaries now, or BB_NO_ROW; counts as asked. */
uint32_t bb_pool_next_to_ask(struct bb_pool *p, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
