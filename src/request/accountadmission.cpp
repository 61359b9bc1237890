#include "almondmill/request/accountadmission.h"

#include "almondmill/admission/accountlimits.h"
#include "almondmill/kernel/node.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/requestcontext.h"

namespace almondmill {

namespace {

/// Used to estimate the tokens of a prompt, which the router does not tokenize.
constexpr std::size_t BytesPerToken = 4;

Refusal refusalFor(AccountLimit::Verdict verdict)
{
    if (verdict == AccountLimit::Verdict::TooManyTokens)
        return {429, "too_many_tokens", "The account's prompt tokens a second are used up.",
                Executed::No};
    return {429, "too_many_requests", "The account has as many requests open as it may.",
            Executed::No};
}

} // namespace

std::shared_ptr<AccountGrant> admitByAccount(Node &node, const RequestContext &context,
                                             std::size_t promptBytes)
{
    if (!node.accountLimits)
        return nullptr;
    auto result = node.accountLimits->admit(*context.account,
                                            static_cast<std::uint32_t>(promptBytes / BytesPerToken),
                                            std::chrono::steady_clock::now());
    if (const auto *verdict = std::get_if<AccountLimit::Verdict>(&result))
        throw RefusedError(refusalFor(*verdict));
    return std::make_shared<AccountGrant>(std::move(std::get<AccountGrant>(result)));
}

} // namespace almondmill
