#pragma once

#include "almondmill/admission/accountlimit.h"

#include <memory>
#include <utility>

namespace almondmill {

/// Admission of one open request of a client account. The destructor releases it.
class AccountGrant
{
public:
    explicit AccountGrant(std::shared_ptr<AccountLimit> limit)
        : m_limit(std::move(limit))
    {}
    AccountGrant(AccountGrant &&) noexcept = default;
    AccountGrant &operator=(AccountGrant &&) = delete;
    AccountGrant(const AccountGrant &) = delete;
    AccountGrant &operator=(const AccountGrant &) = delete;
    ~AccountGrant()
    {
        if (m_limit)
            m_limit->release();
    }

private:
    std::shared_ptr<AccountLimit> m_limit;
};

} // namespace almondmill
