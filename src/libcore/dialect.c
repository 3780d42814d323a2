#include "baobabward/dialect.h"

const struct bb_dialect bb_dialect_default = {
	.key = "Authorization",
	.bearer = true,
	.account = "Client-Account",
	.deadline = "Baobabward-Deadline-Ms",
};
